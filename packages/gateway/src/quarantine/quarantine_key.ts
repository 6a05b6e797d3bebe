/** Prefix of the keys of quarantined requests in the hosts' topic. */
const KEY_PREFIX = 'quarantine/';

/** Maps fingerprints of quarantined requests to their keys in the hosts' topic. */
export const quarantineKey = {
  forFingerprint: (fingerprint: string) => KEY_PREFIX + fingerprint,
  matches: (key: string) => key.startsWith(KEY_PREFIX),
  fingerprintOf: (key: string) => key.slice(KEY_PREFIX.length),
};
