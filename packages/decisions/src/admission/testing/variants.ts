/** Hosts and digests with which each load is played. */
export const VARIANTS = [
  {name: '4 hosts', hosts: 4},
  {name: '16 hosts', hosts: 16},
  {name: '4 hosts, digests a second late', hosts: 4, digestDelayMs: 1_000},
  {name: '16 hosts, digests a second late', hosts: 16, digestDelayMs: 1_000},
  {name: '4 hosts, one killed', hosts: 4, killedAt: 8_000},
  {name: '16 hosts, one killed', hosts: 16, killedAt: 8_000},
] as const;
