import type {Configuration} from './configuration.js';

/** The state before the first record. No host serves requests with it. */
export const emptyConfiguration: Configuration = {
  offset: -1,
  versions: {},
  workspaces: {},
  services: {},
  places: {},
  drained: {},
  revisions: {},
  verdicts: [],
};
