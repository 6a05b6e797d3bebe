import {
  SessionSealer,
  TicketSealer,
  parseSealKeys,
  Sealer,
} from '@bayspool/decisions';

interface Options {
  /** Shared by all hosts: sessions, as `id:secret,…`. */
  readonly sessions: string;
  /** Shared by all hosts: peers, log records, plans and tickets, as `id:secret,…`. */
  readonly cluster: string;
}

/** The seals that the hosts of a fleet share. */
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
