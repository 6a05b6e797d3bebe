/** JSON-RPC methods by which hosts replicate bills. */
export const billMethods = {
  hold: 'bills.hold',
  settled: 'bills.settled',
  adopt: 'bills.adopt',
} as const;
