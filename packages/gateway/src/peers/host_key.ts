/** Prefix of all host keys in the hosts topic. */
const PREFIX = 'host/';

/** Creates and recognizes the keys of hosts in the hosts topic. */
export const hostKey = {
  forName: (name: string) => PREFIX + name,
  matches: (key: string) => key.startsWith(PREFIX),
};
