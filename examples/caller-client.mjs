/**
 * Sample client: asks for an entry answer, keeps it for its lifetime, and
 * tries its addresses in order. A call is repeated at the next address only
 * when it was certainly not run, so orders and payments are never doubled.
 *
 *   node examples/caller-client.mjs http://10.0.0.4:8080 lagos-a /stockview/items/1
 */
const NOT_OPENED = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

export const createCaller = (knownUrls, zone) => {
  let urls = []
  let validUntilMs = 0
  const refresh = async () => {
    // Earlier addresses and the known ones help when every address of the last answer is gone.
    for (const url of [...urls, ...knownUrls]) {
      const response = await fetch(`${url}/.well-known/wisteriavalve/entry?zone=${zone}`, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
      if (!response?.ok) continue
      const { addresses, lifetimeMs } = await response.json()
      if (addresses.length === 0) continue
      urls = addresses.map(({ host, port }) => `http://${host.includes(':') ? `[${host}]` : host}:${port}`)
      validUntilMs = Date.now() + lifetimeMs
      return
    }
  }
  return async (path, options) => {
    if (Date.now() >= validUntilMs) await refresh()
    for (const url of urls) {
      const response = await fetch(url + path, options).catch(error => {
        if (!NOT_OPENED.includes(error.cause?.code)) throw error
      })
      const isNotRun = response?.headers.get('x-result-class') === 'not-run' && [502, 503].includes(response.status)
      if (response && !isNotRun) return response
    }
    validUntilMs = 0
    throw new Error('no address of the entry answer took the request')
  }
}

if (process.argv[2] && import.meta.url === `file://${process.argv[1]}`) {
  const [, , url, zone, path] = process.argv
  const response = await createCaller([url], zone)(path)
  console.log(response.status, await response.text())
}
