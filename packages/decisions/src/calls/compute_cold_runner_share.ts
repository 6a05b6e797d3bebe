import type {RunnerRateLimit} from './runner_rate_limit.js';
import {computeHostShare} from './compute_host_share.js';
import {computeWindowQuota} from './compute_window_quota.js';
import {rankByHash} from './rank_by_hash.js';

interface Options {
  /** The runner's id. */
  readonly runner: string;
  /** The name of this host. */
  readonly host: string;
  /** Names of the hosts that may send calls to the runner, including this one. */
  readonly hosts: readonly string[];
  readonly limits: Omit<RunnerRateLimit, 'windowMs'>;
}

/** Minimum calls per second with which a connection to a cold runner is useful to a host. */
const MIN_USEFUL_CALLS = 3;
const WINDOW_MS = 1_000;

/** Computes how many calls a host may send to a cold runner within a second. */
export function computeColdRunnerShare({
  runner,
  host,
  hosts,
  limits,
}: Options): number {
  return computeHostShare({
    calls: computeWindowQuota({...limits, windowMs: WINDOW_MS}),
    minUsefulCalls: MIN_USEFUL_CALLS,
    hosts: hosts.length,
    rank: rankByHash(`cold|${runner}`, hosts).indexOf(host),
  });
}
