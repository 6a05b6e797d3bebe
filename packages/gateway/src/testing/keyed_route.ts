import {CallKind} from '@bayspool/decisions/calls';
import {plainHeaderNames as names} from './plain_header_names.js';

/** A route whose calls require an API key, and such a key. */
export const keyedRoute = {
  routes: [{kind: CallKind.SAFE, isPublic: false}],
  keys: {'key-1': {workspace: 'ws'}},
  /** Headers of a call that sends the key. */
  headers: {[names.apiKey]: 'key-1'},
};
