/**
 * Opens the two addresses at which other nodes reach this one. The TCP server
 * for calls between nodes opens first, because gossip announces its port.
 */
import type { PeerAuth } from '../adapters/peer-auth.js'
import { openPeerServer, type OpenPeerServer, type PeerRpcSource, type PeerServer } from '../adapters/peer-rpc.js'
import type { ListenAddress } from '../types.js'
import type { GossipDriver } from './gossip-driver.js'

/** @throws the system's error when one of the addresses cannot be bound; neither stays open then */
export const openPeerAddresses = async (address: ListenAddress, auth: PeerAuth, source: PeerRpcSource, gossip: GossipDriver, openServer: OpenPeerServer = openPeerServer): Promise<PeerServer> => {
  const server = await openServer(address, auth, source)
  try {
    await gossip.start({ peerPort: server.port })
    return server
  } catch (error) {
    await server.close()
    throw error
  }
}
