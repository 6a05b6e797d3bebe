/** Start of the keys under which hosts stand in their topic. */
const PREFIX = 'host/';

/** Keys of hosts in their topic. */
export const hostKey = {
  of: (name: string) => PREFIX + name,
  isOne: (key: string) => key.startsWith(PREFIX),
};
