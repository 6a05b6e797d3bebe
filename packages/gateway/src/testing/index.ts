/** Fixtures for tests of the adapters that platforms supply to the gateway. */
export {DirectoryFixture} from './directory_fixture.js';
export {exchangeRaw} from './exchange_raw.js';
export {findPorts} from './find_ports.js';
