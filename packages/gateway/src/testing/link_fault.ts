/** What is wrong with the connections of a host to runners. */
const LinkFault = {
  NONE: 'none',
  /** Open connections are reset, new ones refused. */
  RESET: 'reset',
  /** Open connections and new ones are closed, the latter once they are accepted. */
  CLOSED: 'closed',
  /** Open connections fall silent, new ones get no reply. */
  HUNG: 'hung',
  /** Open connections and new ones fall silent, the latter once they are accepted. */
  SILENT: 'silent',
  /** Open connections work, new ones are refused. */
  REFUSED: 'refused',
} as const;
type LinkFault = (typeof LinkFault)[keyof typeof LinkFault];

export {LinkFault};
