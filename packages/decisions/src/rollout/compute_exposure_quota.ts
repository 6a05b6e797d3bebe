import {selectByRendezvousHash} from '../membership/select_by_rendezvous_hash.js';

interface Options {
  /** Exposure budget: maximum number of answers without a rating, over all hosts. */
  readonly exposure: number;
  readonly version: string;
  readonly self: string;
  /** All live hosts, including this one. */
  readonly hosts: readonly string[];
}

/**
 * Computes this host's quota of the exposure budget. The quotas of all hosts with the same membership
 * view sum to the budget exactly; with more hosts than budget, the hosts that come first in a hash
 * order get one each and the others none.
 */
export function computeExposureQuota(options: Options): number {
  const {exposure, version, self, hosts} = options;
  if (hosts.length === 0) return 0;
  const baseQuota = Math.floor(exposure / hosts.length);
  const remainder = exposure - baseQuota * hosts.length;
  const hostsWithExtra = selectByRendezvousHash(hosts, version, remainder);
  return baseQuota + (hostsWithExtra.includes(self) ? 1 : 0);
}
