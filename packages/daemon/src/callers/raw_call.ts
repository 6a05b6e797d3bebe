import type {AuthenticatedCall} from './authenticated_call.js';

/** A caller's request as it came, before anything is known of it. Header names are in lower case. */
export type RawCall = Pick<
  AuthenticatedCall,
  'id' | 'method' | 'path' | 'headers' | 'body' | 'signal' | 'trace'
>;
