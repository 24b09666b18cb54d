/**
 * Replaces Node's HTTP/2 module, which undici loads although the daemon uses
 * HTTP/1.1 only. undici works the same without it.
 */
module.exports = { constants: {} }
