/**
 * The parts of undici that the daemon uses. The package's index also loads
 * fetch, WebSocket, caches and mocks, which triples the start-up time.
 */
const Agent = require('undici/lib/dispatcher/agent.js')
const Client = require('undici/lib/dispatcher/client.js')
const buildConnector = require('undici/lib/core/connect.js')

module.exports = { Agent, Client, buildConnector }
