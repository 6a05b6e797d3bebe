/** Fixtures for tests of what reads from other processes. */
export {FloodingPeer} from './flooding_peer.js';
export {MemoryPeak} from './memory_peak.js';
