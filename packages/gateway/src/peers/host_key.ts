/** Start of the keys under which hosts stand in their topic. */
const PREFIX = 'host/';

/** Keys of hosts in their topic. */
export const hostKey = {
  forName: (name: string) => PREFIX + name,
  matches: (key: string) => key.startsWith(PREFIX),
};
