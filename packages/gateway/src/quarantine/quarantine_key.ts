/** Start of the keys under which requests that are held back stand in the hosts' topic. */
const KEY_PREFIX = 'quarantine/';

/** Keys of requests that are held back in the hosts' topic. */
export const quarantineKey = {
  forFingerprint: (fingerprint: string) => KEY_PREFIX + fingerprint,
  matches: (key: string) => key.startsWith(KEY_PREFIX),
  fingerprintOf: (key: string) => key.slice(KEY_PREFIX.length),
};
