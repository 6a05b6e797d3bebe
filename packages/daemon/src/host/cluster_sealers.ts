import {
  SessionSealer,
  TicketSealer,
  parseSealKeys,
  Sealer,
} from '@bayspool/decisions';

interface Options {
  /** Keys for sessions, the same on all hosts, as `id:secret,…`. */
  readonly sessions: string;
  /** Keys for peer messages, log records, plans and tickets, the same on all hosts, as `id:secret,…`. */
  readonly cluster: string;
}

/** One sealer for each purpose, made from the keys that all hosts share. */
export class ClusterSealers {
  readonly sessions: SessionSealer;
  readonly tickets: TicketSealer;
  readonly plans: Sealer;
  readonly peers: Sealer;
  readonly records: Sealer;

  constructor(options: Options) {
    const cluster = parseSealKeys(options.cluster);
    this.sessions = new SessionSealer(
      new Sealer({keys: parseSealKeys(options.sessions), purpose: 'session'}),
    );
    this.tickets = new TicketSealer(
      new Sealer({keys: cluster, purpose: 'ticket'}),
    );
    this.plans = new Sealer({keys: cluster, purpose: 'plan'});
    this.peers = new Sealer({keys: cluster, purpose: 'peer'});
    this.records = new Sealer({keys: cluster, purpose: 'record'});
  }
}
