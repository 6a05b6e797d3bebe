import {CallKind} from '@bayspool/decisions/calls';
import {plainHeaderNames as names} from './plain_header_names.js';

/** A route on which a call needs a key, and a key for it. */
export const keyedRoute = {
  routes: [{kind: CallKind.SAFE, isPublic: false}],
  keys: {'key-1': {workspace: 'ws'}},
  /** The headers of a call that brings the key. */
  headers: {[names.apiKey]: 'key-1'},
};
