// Guards against clients that fill the memory of a process with requests that they send ahead, and against sound ones that a bound hurts.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PacedServer} from './paced_server.js';
import type {PauseReason} from './pause_reason.js';
import {RequestPacer} from './request_pacer.js';

const HOST = 'host: a\r\n';
const REQUEST = `GET /1 HTTP/1.1\r\n${HOST}\r\n`;
const SETTLE_MS = 100;
const LAST = 'connection: close\r\n';
/** More lines than Node keeps by default. */
const MANY_LINES = 3_000;

interface Setup {
  readonly pacer?: RequestPacer;
  readonly maxOpen?: number;
  readonly listener?: RequestListener;
}

async function start(
  context: TestContext,
  {pacer = new RequestPacer(), maxOpen = 4, listener}: Setup,
) {
  const open: ServerResponse[] = [];
  const seen: IncomingMessage[] = [];
  const paced = new PacedServer({
    pacer,
    maxOpenPerConnection: maxOpen,
    listener: (request, response) => {
      seen.push(request);
      if (listener) listener(request, response);
      else open.push(response);
    },
  });
  const {server} = paced;
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const connectClient = (): Socket => {
    const socket = connect(port, '127.0.0.1');
    context.after(() => socket.destroy());
    socket.on('error', () => undefined);
    return socket;
  };
  return {paced, open, seen, pacer, connectClient};
}

/** Reads to the end of a connection. */
async function readAll(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', chunk => {
    text += String(chunk);
  });
  await once(socket, 'close');
  return text;
}

const respond: RequestListener = (request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () =>
    response.end(`${request.url} ${Buffer.concat(chunks).length};`),
  );
};

void test('requests that are sent ahead beyond the bound wait until responses have left', async context => {
  const {open, seen, connectClient} = await start(context, {});
  const socket = connectClient();
  socket.resume();
  socket.write(REQUEST.repeat(10));
  await sleep(SETTLE_MS);
  assert.equal(seen.length, 4);
  for (const response of open.splice(0)) response.end();
  await sleep(SETTLE_MS);
  assert.equal(seen.length, 8);
});

void test('all requests that are sent ahead are answered, in order, with and without bodies', async context => {
  const {connectClient} = await start(context, {listener: respond});
  const socket = connectClient();
  const requests = Array.from({length: 60}, (_, i) => {
    const close = i === 59 ? LAST : '';
    const head = `POST /${i} HTTP/1.1\r\n${HOST}${close}`;
    const chunks = '3\r\nabc\r\n'.repeat(i);
    if (i % 3 === 0)
      return `${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
    if (i % 3 === 1) return `${head}content-length: 5\r\n\r\nabcde`;
    return `${head}\r\n`;
  });
  socket.write(requests.join(''));
  const text = await readAll(socket);
  const answers = [...text.matchAll(/\/(\d+) (\d+);/g)].map(([, n, size]) => [
    Number(n),
    Number(size),
  ]);
  const expected = requests.map((_, i) => [i, [3 * i, 5, 0][i % 3]]);
  assert.deepEqual(answers, expected);
});

void test('requests are found wherever their bytes are split', async context => {
  const {seen, connectClient} = await start(context, {listener: respond});
  const body = '4;x=y\r\nab\r\n\r\n0\r\nt: 1\r\n\r\n';
  const text = [
    '\r\n',
    REQUEST,
    `POST /2 HTTP/1.1\r\n${HOST}transfer-encoding: chunked\r\n\r\n${body}`,
    `GET /3 HTTP/1.1\r\n${HOST}${LAST}\r\n`,
  ].join('');
  for (let split = 1; split < text.length; split += 7) {
    const socket = connectClient();
    socket.setNoDelay(true);
    const received = readAll(socket);
    socket.write(text.slice(0, split));
    await sleep(2);
    socket.write(text.slice(split));
    const answers = [...(await received).matchAll(/\/\d \d;/g)].join(' ');
    assert.equal(answers, '/1 0; /2 4; /3 0;', `split at ${split}`);
  }
  assert.equal(seen.at(-2)?.trailers.t, '1');
});

void test('a caller that sends ahead and reads large responses slowly gets all of them', async context => {
  const {connectClient} = await start(context, {
    maxOpen: 16,
    listener: (_request, response) => response.end(Buffer.alloc(1_000_000)),
  });
  const socket = connectClient();
  socket.write(REQUEST.repeat(39) + `GET /1 HTTP/1.1\r\n${HOST}${LAST}\r\n`);
  let received = 0;
  socket.on('data', chunk => {
    received += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), 1);
  });
  await once(socket, 'close');
  assert.ok(received > 40_000_000, `${received}`);
});

void test('no header line is left out, however many there are', async context => {
  const {seen, connectClient} = await start(context, {listener: respond});
  const socket = connectClient();
  const lines = Array.from({length: MANY_LINES}, () => 'a:\r\n').join('');
  socket.write(`GET /1 HTTP/1.1\r\n${lines}${HOST}${LAST}\r\n`);
  assert.match(await readAll(socket), /^HTTP\/1.1 200 /);
  assert.equal(seen[0].headers.host, 'a');
});

void test('the size of header lines is known as they were sent', async context => {
  const {paced, seen, connectClient} = await start(context, {
    listener: respond,
  });
  const socket = connectClient();
  const lines = `a:\r\nb: 1\r\n${HOST}${LAST}`;
  socket.write(`GET /1 HTTP/1.1\r\n${lines}\r\n`);
  await readAll(socket);
  assert.equal(paced.headerBytesOf(seen[0]), lines.length + 2);
});

void test('a head that is too large is refused, and its connection closed', async context => {
  const {seen, connectClient} = await start(context, {});
  const socket = connectClient();
  socket.write(`GET /1 HTTP/1.1\r\nlong: ${'x'.repeat(20_000)}`);
  assert.match(await readAll(socket), /^HTTP\/1.1 431 /);
  assert.equal(seen.length, 0);
});

void test('bytes behind a response that closes the connection are no requests', async context => {
  const {seen, connectClient} = await start(context, {
    maxOpen: 1,
    listener: respond,
  });
  const socket = connectClient();
  const closing = `GET /1 HTTP/1.1\r\n${HOST}${LAST}\r\n`;
  socket.write(closing + REQUEST.repeat(20));
  const text = await readAll(socket);
  assert.equal(seen.length, 1);
  assert.equal(text.split('HTTP/1.1').length, 2);
});

void test('the end of a connection is noticed while its requests wait', async context => {
  const {open, connectClient} = await start(context, {maxOpen: 1});
  const socket = connectClient();
  socket.write(REQUEST.repeat(10));
  await sleep(SETTLE_MS);
  const [response] = open;
  const closed = once(response, 'close');
  socket.end();
  await Promise.race([closed, sleep(1_000).then(() => assert.fail('open'))]);
});

void test('what requests of all connections take is bounded, and each goes on in the end', async context => {
  const pacer = new RequestPacer({maxRequestBytes: 40_000});
  const {open, seen, connectClient} = await start(context, {pacer, maxOpen: 8});
  for (let i = 0; i < 5; i++) connectClient().write(REQUEST.repeat(8));
  await sleep(SETTLE_MS);
  // The first one of each connection, and those that share the bound.
  assert.ok(seen.length >= 5 && seen.length < 15, `${seen.length}`);
  assert.ok(pacer.sharedRequestBytes <= 40_000);
  while (open.length > 0) {
    for (const response of open.splice(0)) response.end();
    await sleep(SETTLE_MS / 4);
  }
  assert.equal(seen.length, 40);
  assert.equal(pacer.sharedRequestBytes, 0);
});

void test('a single request goes on however much memory it takes', async context => {
  const pacer = new RequestPacer({maxRequestBytes: 1});
  const {connectClient} = await start(context, {pacer, listener: respond});
  const socket = connectClient();
  const lines = Array.from({length: MANY_LINES}, () => 'a:\r\n').join('');
  socket.write(`GET /1 HTTP/1.1\r\n${HOST}${LAST}${lines}\r\n`);
  assert.match(await readAll(socket), /^HTTP\/1.1 200 /);
});

void test('of connections that hold too many unparsed bytes those with most are closed', async context => {
  const pacer = new RequestPacer({maxUnparsedBytes: 150_000});
  const shed: number[] = [];
  const paused: PauseReason[] = [];
  pacer.observe({
    onPaused: reason => paused.push(reason),
    onShed: bytes => shed.push(bytes),
  });
  const {paced, connectClient} = await start(context, {pacer, maxOpen: 1});
  const small = connectClient();
  small.write(REQUEST.repeat(3));
  for (let i = 0; i < 8; i++) connectClient().write(REQUEST.repeat(5_000));
  await sleep(3 * SETTLE_MS);
  assert.ok(pacer.heldUnparsedBytes <= 150_000, `${pacer.heldUnparsedBytes}`);
  assert.ok(shed.length > 0 && paused.length > 0);
  assert.ok(!small.destroyed);
  assert.ok(paced.server.listening);
});

void test('connections that send ahead take turns with one that sends a single request', async context => {
  const order: string[] = [];
  const {connectClient} = await start(context, {
    maxOpen: 10_000,
    listener: (request, response) => {
      order.push(request.url ?? '');
      response.end();
    },
  });
  const crowd = Array.from({length: 4}, () => connectClient());
  const single = connectClient();
  await Promise.all([...crowd, single].map(socket => once(socket, 'connect')));
  for (const socket of crowd) socket.resume().write(REQUEST.repeat(2_000));
  single.write(`GET /single HTTP/1.1\r\n${HOST}\r\n`);
  await once(single, 'data');
  assert.ok(order.indexOf('/single') < 1_000, `${order.indexOf('/single')}`);
});
