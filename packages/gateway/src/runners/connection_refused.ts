/** Reason of a `ConnectFailure` if no process listens at the address. */
export const CONNECTION_REFUSED = 'ECONNREFUSED';
