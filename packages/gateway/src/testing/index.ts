/** Support for tests of what adapters hand to the gateway. */
export {DirectoryFixture} from './directory_fixture.js';
export {findPorts} from './find_ports.js';
