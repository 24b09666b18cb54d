/**
 * The parts of undici that the daemon uses. The package's index also loads
 * fetch, WebSocket, caches and mocks, which triples the start-up time.
 */
const Agent = require('undici/lib/dispatcher/agent.js')
const Client = require('undici/lib/dispatcher/client.js')
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
const request = require('undici/lib/api/api-request.js')

Dispatcher.prototype.request = request

module.exports = { Agent, Client }
