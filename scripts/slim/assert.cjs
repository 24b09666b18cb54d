/**
 * Replaces Node's assert module, of which the bundled libraries use only the
 * function itself. Node composes the message of a failed assertion from the
 * source line of the call. In the bundle that line is hundreds of kilobytes long,
 * and reading it blocks the process for seconds.
 */
module.exports = (value, message = 'an assertion of a library failed') => {
  if (value) return
  if (message instanceof Error) throw message
  throw Object.assign(new Error(message), { name: 'AssertionError', code: 'ERR_ASSERTION' })
}
