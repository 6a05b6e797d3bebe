import type {AuthenticatedCall} from './authenticated_call.js';

/** A request as received, before authentication. Header names are in lower case. */
export type RawCall = Pick<
  AuthenticatedCall,
  'id' | 'method' | 'path' | 'headers' | 'body' | 'signal' | 'trace'
>;
