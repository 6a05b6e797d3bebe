/* global performance, setTimeout */
// A stand-in for a runner of a plain service, as PROTOCOL.md describes one: its entry in the store, slots, its own id,
// `Connection: close` in its answers while it leaves.
import {createServer} from 'node:http';

export class Runner {
  arrivals = [];
  runs = [];
  isLeaving = false;
  hasEnded = false;
  running = 0;

  constructor({id, ip, backend, zone, workMs, slots, store, gen = 'v1'}) {
    Object.assign(this, {id, ip, backend, zone, workMs, slots, store, gen});
    this.server = createServer((request, response) => {
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.resume();
      request.on('end', () => this.handle(request, response));
    });
    this.server.keepAliveTimeout = 10000;
  }

  get address() {
    return `${this.ip}:${this.server.address().port}`;
  }

  async start() {
    await new Promise(done => this.server.listen(0, this.ip, done));
    return this.register('ready');
  }

  /** Writes its entry. Returns when the store had taken it. */
  register(phase) {
    return this.store.put('keyed.servers', this.id, {
      backend: this.backend,
      address: this.address,
      az: this.zone,
      gen: this.gen,
      slots: this.slots,
      phase,
      'cold-left-ms': 0,
      'call-seq': 0,
    });
  }

  /** Says that it is draining. Returns when the store had taken that. */
  drain() {
    this.isLeaving = true;
    return this.register('draining');
  }

  /** Ends: open channels are closed, and its entry goes. */
  end() {
    this.hasEnded = true;
    this.server.close();
    this.server.closeAllConnections();
    this.store.put('keyed.servers', this.id);
  }

  handle(request, response) {
    if (this.hasEnded) return;
    const id = request.headers['request-id'];
    const head = {'instance-id': this.id};
    if (this.isLeaving) head.connection = 'close';
    if (id === undefined) {
      const status = this.isLeaving ? 503 : 200;
      return response.writeHead(status, head).end();
    }
    head['request-id'] = id;
    if (request.headers['expect-instance'] !== this.id)
      return response.writeHead(421, head).end();
    const arrival = {
      id,
      at: performance.now(),
      runner: this.id,
      via: request.socket.remoteAddress,
    };
    this.arrivals.push(arrival);
    if (this.running >= this.slots)
      return response.writeHead(503, {...head, 'not-run': '1'}).end();
    this.running += 1;
    this.runs.push(arrival);
    setTimeout(() => {
      this.running -= 1;
      const body = `answer to ${id}\n`;
      head['server-stamp'] = `stamp.${this.id}.${id}`;
      head['content-length'] = body.length;
      response.writeHead(200, head).end(body);
    }, this.workMs);
  }
}
