import type {ColdLimits} from './cold_limits.js';
import {rankByHash} from './rank_by_hash.js';

interface Options {
  /** The runner's id. */
  readonly runner: string;
  /** The host that asks. */
  readonly host: string;
  /** Names of the hosts that may send there, this one included. */
  readonly hosts: readonly string[];
  readonly limits: ColdLimits;
}

/** Calls a second with which a connection to a cold runner is of use to a host. */
const USEFUL_CALLS = 3;
/** Sets of hosts that may send at once, where hosts know different ones: what two of them send stays under the bound. */
const KNOWN_SETS = 2;

/**
 * How many calls a host may send to a cold runner within a second. A few hosts, drawn by hash, send it a useful number each and
 * all others nothing, so that the sum is bounded without a message; parts of all hosts would be less than a call a second each,
 * and their sum bounded only on average.
 */
export function coldShare({runner, host, hosts, limits}: Options): number {
  const {perSecond, overage, slack} = limits;
  const bound = (perSecond * overage + slack) / KNOWN_SETS;
  const calls = Math.floor(Math.min(perSecond, bound));
  const each = Math.min(
    calls,
    Math.max(USEFUL_CALLS, Math.ceil(calls / hosts.length)),
  );
  if (each < 1) return 0;
  const count = Math.floor(calls / each);
  const chosen = rankByHash(`cold|${runner}`, hosts).slice(0, count);
  return chosen.includes(host) ? each : 0;
}
