import type {CallBound} from './call_bound.js';
import {callShare} from './call_share.js';
import {callsWithin} from './calls_within.js';
import {rankByHash} from './rank_by_hash.js';

interface Options {
  /** The runner's id. */
  readonly runner: string;
  /** The host that asks. */
  readonly host: string;
  /** Names of the hosts that may send there, this one included. */
  readonly hosts: readonly string[];
  readonly limits: Omit<CallBound, 'windowMs'>;
}

/** Calls a second with which a connection to a cold runner is of use to a host. */
const USEFUL_CALLS = 3;
const WINDOW_MS = 1_000;

/** How many calls a host may send to a cold runner within a second. */
export function coldShare({runner, host, hosts, limits}: Options): number {
  return callShare({
    calls: callsWithin({...limits, windowMs: WINDOW_MS}),
    leastCalls: USEFUL_CALLS,
    hosts: hosts.length,
    rank: rankByHash(`cold|${runner}`, hosts).indexOf(host),
  });
}
