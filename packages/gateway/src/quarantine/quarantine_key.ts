/** Start of the keys under which requests that are held back stand in the hosts' topic. */
const PREFIX = 'quarantine/';

/** Keys of requests that are held back in the hosts' topic. */
export const quarantineKey = {
  of: (fingerprint: string) => PREFIX + fingerprint,
  isOne: (key: string) => key.startsWith(PREFIX),
  fingerprintOf: (key: string) => key.slice(PREFIX.length),
};
