/* global Buffer, clearTimeout, performance, process, setTimeout */
// A stand-in for clients: requests on kept channels of one host.
import {Agent, request as startRequest} from 'node:http';

let lastNumber = 0;

/** Returns a new request id. */
export function nextId() {
  lastNumber += 1;
  return `9c41${process.pid.toString(16)}${lastNumber.toString(16).padStart(8, '0')}`;
}

export function createAgent() {
  return new Agent({keepAlive: true, maxSockets: 64, scheduling: 'lifo'});
}

/** Sends a request. Resolves to how it ended. */
export function send({
  agent,
  ip,
  port,
  hostName,
  path,
  method = 'POST',
  key,
  deadlineMs,
  headers = {},
  body = '',
  id = nextId(),
}) {
  const sentAt = performance.now();
  const result = {id, sentAt, host: ip};
  return new Promise(done => {
    const outgoing = startRequest({
      agent,
      host: ip,
      port,
      method,
      path,
      headers: {
        host: hostName,
        'request-id': id,
        'deadline-ms': String(deadlineMs),
        ...(key ? {'api-key': key} : {}),
        ...headers,
        'content-length': Buffer.byteLength(body),
      },
    });
    const end = outcome => {
      clearTimeout(timer);
      done({...result, ...outcome, endedAt: performance.now()});
    };
    const timer = setTimeout(() => {
      end({outcome: 'client gave up'});
      outgoing.destroy();
    }, deadlineMs + 1000);
    outgoing.on('error', error => end({outcome: `closed: ${error.code}`}));
    outgoing.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => end({outcome: 'cut'}));
      response.on('end', () =>
        end({
          outcome: String(response.statusCode),
          status: response.statusCode,
          headers: response.headers,
          isWhole: response.complete,
          body: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    outgoing.end(body);
  });
}
