import type {IncomingCall} from './incoming_call.js';

/** What the headers of an attempt are made from. */
interface HeaderInput {
  readonly call: IncomingCall;
  /** Id of the intended runner. */
  readonly runnerId: string;
  readonly model?: string;
  /** Time left until the call's deadline, in ms. */
  readonly remainingMs: number;
  readonly lastEventId?: number;
  /** Priority by which an engine orders the call; that of its route if absent. */
  readonly priority?: number;
}

/** Builds the request headers of an attempt. */
export interface RequestHeaders {
  /** Returns alternating names and values. */
  build(input: HeaderInput): string[];
}
