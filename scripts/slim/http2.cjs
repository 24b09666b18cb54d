/**
 * Stands in for Node's HTTP/2 module, which undici loads although the daemon
 * speaks HTTP/1.1 only. undici runs without it in the same way.
 */
module.exports = { constants: {} }
