import {hashToFraction} from './hash_to_fraction.js';
import type {SuspectRequest} from './suspect_request.js';

interface Options {
  readonly suspect: SuspectRequest;
  /** Position of this host in the order in which hosts may try the request, from 0. */
  readonly rank: number;
}

/** Least time for which a suspect request is held back after its last crash, in ms. */
const MIN_HOLD_MS = 2_000;
/** Longest time by which that is prolonged, in ms, so that suspects of the same crashes are tried one after the other. */
const MAX_SPREAD_MS = 2_000;
/** Turns that a host waits for after a trial for which it found no runner. */
const CANCELLED_TURNS = 3;
/** Time for which only one host may try the request, in ms; the others hear of its trial meanwhile. */
const FIRST_TURN_MS = 1_500;
/** Time after which twice as many hosts may try the request, in ms, as its callers need not find the first one. */
const DOUBLING_MS = 1_000;

/** Computes from when on this host may try a suspect request again, in ms. */
export function computeTrialTime({suspect, rank}: Options): number {
  const {fingerprint, lastCrashAt, lastCancelledAt} = suspect;
  const spreadMs = MAX_SPREAD_MS * hashToFraction(fingerprint);
  const turnMs =
    rank === 0 ? 0 : FIRST_TURN_MS + Math.floor(Math.log2(rank)) * DOUBLING_MS;
  // Hosts that find no runner wait for their turn again; otherwise all would try at once when the runners are back.
  return Math.max(
    lastCrashAt + MIN_HOLD_MS + spreadMs + turnMs,
    lastCancelledAt + CANCELLED_TURNS * turnMs,
  );
}
