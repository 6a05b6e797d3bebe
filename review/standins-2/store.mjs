/* global Buffer, URL, clearTimeout, performance, setTimeout */
// A stand-in for the platform's store: the calls of the log that a host makes, as PROTOCOL.md describes them.
import {createServer} from 'node:http';

const PAGE_SIZE = 500;

function encode(key, value) {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value ?? '');
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
  head.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([head, keyBytes, valueBytes]);
}

function decodeBody(body) {
  const keyEnd = 1 + body.readUInt8(0);
  const value =
    keyEnd < body.length ? body.subarray(keyEnd).toString() : undefined;
  return {key: body.subarray(1, keyEnd).toString(), value};
}

export class Store {
  partitions = new Map();
  /** Called with each append that was done: topic, key, value. */
  onAppend = () => undefined;

  constructor(ip) {
    this.ip = ip;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () =>
        this.handle(request, Buffer.concat(chunks), response),
      );
      request.on('error', () => undefined);
      response.on('error', () => undefined);
    });
    this.server.keepAliveTimeout = 60000;
  }

  get address() {
    return `${this.ip}:${this.server.address().port}`;
  }

  start() {
    return new Promise(done => this.server.listen(0, this.ip, done));
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  partition(topic) {
    let found = this.partitions.get(topic);
    if (!found) {
      found = {records: [], waiting: new Set()};
      this.partitions.set(topic, found);
    }
    return found;
  }

  /** Appends a record, as the operator and the runners do; a record without a value removes its key. */
  put(topic, key, value) {
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.append(topic, [encode(key, text)]);
    return performance.now();
  }

  append(topic, records) {
    const partition = this.partition(topic);
    for (const record of records) {
      partition.records.push(record);
      const {key, value} = decodeBody(record.subarray(4));
      this.onAppend(topic, key, value);
    }
    for (const answer of [...partition.waiting]) answer();
  }

  handle(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const partition = this.partition(topic);
    if (url.pathname === '/api/log-append') {
      const expected = url.searchParams.get('store-revision');
      const end = partition.records.length;
      if (expected !== null && Number(expected) !== end)
        return response.writeHead(412).end(JSON.stringify({end}));
      const records = [];
      for (let at = 0; at < body.length;) {
        const next = at + 4 + body.readUInt32BE(at);
        records.push(body.subarray(at, next));
        at = next;
      }
      this.append(topic, records);
      return response.end(
        JSON.stringify({offset: end, end: partition.records.length}),
      );
    }
    if (url.pathname === '/api/log-read')
      return this.read(url.searchParams, partition, response);
    if (url.pathname === '/api/log-newest')
      return this.newest(url.searchParams, partition, response);
    return response.writeHead(404).end();
  }

  read(query, partition, response) {
    const from = Number(query.get('from'));
    const waiting = {timer: undefined};
    const answer = () => {
      clearTimeout(waiting.timer);
      partition.waiting.delete(answer);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(partition.records.length), 0);
      response.end(Buffer.concat([head, ...partition.records.slice(from)]));
    };
    if (partition.records.length > from) return answer();
    partition.waiting.add(answer);
    waiting.timer = setTimeout(answer, Number(query.get('wait-ms') ?? 0));
  }

  newest(query, partition, response) {
    const byKey = new Map();
    partition.records.forEach((record, offset) => {
      const {key, value} = decodeBody(record.subarray(4));
      byKey.set(key, {key, value, offset});
    });
    const since = query.get('since-rev');
    const left = [...byKey.values()]
      .filter(({value}) => value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter(({key}) => since === null || key > since);
    const entries = left.slice(0, PAGE_SIZE).map(({key, value, offset}) => ({
      key,
      value: Buffer.from(value).toString('base64'),
      offset,
    }));
    response.end(
      JSON.stringify({
        entries,
        'more-pages': left.length > PAGE_SIZE,
        end: partition.records.length,
      }),
    );
  }
}
