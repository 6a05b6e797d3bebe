import {selectByRendezvousHash} from '../membership/select_by_rendezvous_hash.js';

interface Options {
  /** The answers that may be out without a rating, over all hosts. */
  readonly exposure: number;
  readonly version: string;
  readonly self: string;
  /** All living hosts, this one among them. */
  readonly hosts: readonly string[];
}

/**
 * This host's part of the exposure budget. The parts of all hosts with the same
 * view add up to the budget exactly; with more hosts than budget, the hosts that
 * come first in a hash order get one each and the others none.
 */
export function computeExposureQuota(options: Options): number {
  const {exposure, version, self, hosts} = options;
  if (hosts.length === 0) return 0;
  const whole = Math.floor(exposure / hosts.length);
  const rest = exposure - whole * hosts.length;
  const favoured = selectByRendezvousHash(hosts, version, rest);
  return whole + (favoured.includes(self) ? 1 : 0);
}
