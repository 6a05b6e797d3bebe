// Guards against passing a response on as whole although its runner broke off in the middle of its head.
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {exchangeRaw} from '../testing/exchange_raw.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';
import {ScriptedRunner} from '../testing/scripted_runner.js';

const STATUS_LINE = 'HTTP/1.1 200 OK';
const OK_HEAD = `${STATUS_LINE}\r\n${names.requestId}: r-0\r\n${names.signature}: s`;
/** What a runner sends of its response before it breaks off. */
const TRUNCATED_HEADS = {
  'inside the status line': 'HTTP/1.1 200',
  'behind the status line': `${STATUS_LINE}\r\n`,
  'inside the name of a field': `${STATUS_LINE}\r\ncontent-le`,
  'inside the value of a field': `${STATUS_LINE}\r\ncontent-length: 1`,
  'behind the last field': `${OK_HEAD}\r\n`,
  'inside the empty line': `${OK_HEAD}\r\n\r`,
  'behind an interim response': 'HTTP/1.1 103 Early Hints\r\n\r\n',
};
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const CALLS = 5;

type End = (socket: Socket) => void;

const close: End = socket => socket.end();
const reset: End = socket => socket.resetAndDestroy();

let fixture: GatewayFixture;
let broken: ScriptedRunner;
let sound: ScriptedRunner;

beforeEach(() => {
  fixture = new GatewayFixture();
  broken = new ScriptedRunner({id: 'broken'});
  sound = new ScriptedRunner({id: 'sound'});
});

afterEach(() => fixture.stop());

function serve(
  kind: CallKind,
  runners: readonly ScriptedRunner[],
): Promise<void> {
  return fixture.serve({kind}, runners, {retryRatio: 5});
}

function breakOffBehind(bytes: string, end: End): ScriptedRunner['script'] {
  return ({socket}) => socket.write(bytes, () => end(socket));
}

function isSuccess(text: string): boolean {
  return /^HTTP\/1\.1 2/.test(text);
}

void describe('runners that break off in the head', {concurrency: 1}, () => {
  for (const [end, verb] of [
    [close, 'closed'],
    [reset, 'reset'],
  ] as const) {
    for (const kind of [CallKind.UNSAFE, CallKind.SAFE, CallKind.STREAM])
      void test(`no call of kind ${kind} gets a success, connection ${verb}`, async () => {
        await serve(kind, [broken]);
        for (const bytes of Object.values(TRUNCATED_HEADS)) {
          broken.script = breakOffBehind(bytes, end);
          const {text} = await exchangeRaw(fixture.describeCall());
          assert.ok(!isSuccess(text), bytes);
        }
      });

    void test(`calls are answered whole by another runner, connection ${verb}`, async () => {
      await serve(CallKind.SAFE, [broken, sound]);
      for (const bytes of Object.values(TRUNCATED_HEADS)) {
        broken.script = breakOffBehind(bytes, end);
        for (let i = 0; i < CALLS; i++) {
          const {status, body, isComplete} = await fixture.call();
          assert.deepEqual(
            {status, body, isComplete},
            {status: 200, body: 'whole body', isComplete: true},
          );
        }
      }
      assert.ok(broken.received.length > 0);
    });

    void test(`a stream is not completed by a runner that breaks off, connection ${verb}`, async () => {
      await serve(CallKind.RESUMABLE, [broken]);
      for (const bytes of Object.values(TRUNCATED_HEADS)) {
        broken.script = (request, response) => {
          if (request.headers[names.lastEventId] !== undefined)
            return breakOffBehind(bytes, end)(request, response);
          response.writeHead(200, {
            [names.requestId]: request.id,
            [names.signature]: 's',
          });
          response.write(FIRST_EVENT, () => request.socket.destroy());
        };
        const {text, isComplete} = await exchangeRaw(fixture.describeCall());
        assert.ok(!isComplete, bytes);
        assert.doesNotMatch(text, /id: 2/);
      }
    });

    void test(`a stream goes on at another runner, connection ${verb}`, async () => {
      await serve(CallKind.RESUMABLE, [broken, sound]);
      sound.script = ({id}, response) => {
        response.writeHead(200, {
          [names.requestId]: id,
          [names.signature]: 's',
        });
        response.end(EVENTS);
      };
      for (const bytes of Object.values(TRUNCATED_HEADS)) {
        broken.script = breakOffBehind(bytes, end);
        for (let i = 0; i < CALLS; i++) {
          const {text, isComplete} = await exchangeRaw(fixture.describeCall());
          assert.ok(isComplete, bytes);
          assert.equal(text.match(/^id: \d$/gm)?.join(), 'id: 1,id: 2');
        }
      }
      assert.ok(broken.received.length > 0);
    });
  }
});
