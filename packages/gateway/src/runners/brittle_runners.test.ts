// Guards against sending runners that state that they fail under rejections so many requests that they do fail.
import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MultiHostFixture} from '../testing/multi_host_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';

type Call = Parameters<MultiHostFixture['script']>[0];
type Response = Parameters<MultiHostFixture['script']>[1];

interface Options {
  /** Runners that are brittle. */
  readonly brittle?: readonly string[];
  readonly room?: number;
  /** Rejections in a second above which a runner fails. */
  readonly perSecond?: number;
}

const REJECTIONS_PER_SECOND = 3;
/** The least that a runner can state, with which it fails soonest. */
const LEAST_PER_SECOND = 1;
const ROOM = 2;
const LARGE_ROOM = 6;
const WORK_MS = 120;
/** Time for which a runner that failed is gone, in ms. */
const GONE_MS = 4_000;
const WINDOW_MS = 1_000;
/** Time from the first statement until less room counts, in ms. */
const CONTACT_MS = 3_000;
const JUDGED_MS = 12_000;
const RUNNERS = ['i-0', 'i-1', 'i-2', 'i-3'];
/** Failures that are allowed: two and a tenth of the runners. */
const ALLOWED_FAILURES = 2 + RUNNERS.length / 10;
/** Pauses between two calls, in ms: 55, 15 and 30 a second. */
const PAUSE_MS = {BUSY: 18, QUIET: 66, MIDDLE: 33};

/** Runners with little room that fail when they have to reject too much. */
class BrittleRunners {
  failures = 0;
  room: number;
  private readonly perSecond: number;
  private readonly running = new Map<string, number>();
  private readonly rejectedAt = new Map<string, number[]>();
  private readonly goneUntil = new Map<string, number>();

  constructor(private readonly options: Options) {
    this.room = options.room ?? ROOM;
    this.perSecond = options.perSecond ?? REJECTIONS_PER_SECOND;
  }

  respond(call: Call, response: Response): void {
    const {runner} = call;
    if (performance.now() < (this.goneUntil.get(runner) ?? 0))
      return call.disconnect();
    const running = this.running.get(runner) ?? 0;
    const {brittle = RUNNERS} = this.options;
    const isBrittle = brittle.includes(runner);
    const head = {
      [names.requestId]: call.request,
      [names.signature]: runner,
      ...(isBrittle && {[names.brittle]: String(this.perSecond)}),
    };
    if (isBrittle && running >= this.room) {
      response.writeHead(503, {...head, [names.notRun]: '1'}).end();
      return this.countRejection(runner);
    }
    this.running.set(runner, running + 1);
    setTimeout(() => {
      this.running.set(runner, (this.running.get(runner) ?? 1) - 1);
      response.writeHead(200, head).end('whole');
    }, WORK_MS);
  }

  private countRejection(runner: string): void {
    const now = performance.now();
    const recent = (this.rejectedAt.get(runner) ?? []).filter(
      at => at > now - WINDOW_MS,
    );
    recent.push(now);
    this.rejectedAt.set(runner, recent);
    if (recent.length <= this.perSecond) return;
    this.failures += 1;
    this.goneUntil.set(runner, now + GONE_MS);
    this.rejectedAt.set(runner, []);
  }
}

interface Scene {
  readonly fixture: MultiHostFixture;
  readonly runners: BrittleRunners;
}

async function start(context: TestContext, options: Options): Promise<Scene> {
  const runners = new BrittleRunners(options);
  const fixture = new MultiHostFixture({
    script: (call, response) => runners.respond(call, response),
  });
  context.after(() => fixture.stop());
  await fixture.start();
  return {fixture, runners};
}

async function callWhileRoomShrinks({fixture, runners}: Scene): Promise<void> {
  const calls = fixture.callFor({
    forMs: CONTACT_MS + JUDGED_MS,
    pauseMs: PAUSE_MS.BUSY,
  });
  await sleep(CONTACT_MS);
  runners.room = ROOM;
  await calls;
}

function assertFewFailures({runners}: Scene): void {
  assert.ok(
    runners.failures <= ALLOWED_FAILURES,
    `${runners.failures} failures, ${ALLOWED_FAILURES} allowed`,
  );
}

void describe('brittle runners', {concurrency: 5}, () => {
  void test('all runners are brittle and busy', async context => {
    const scene = await start(context, {});
    await scene.fixture.callFor({forMs: JUDGED_MS, pauseMs: PAUSE_MS.BUSY});
    assertFewFailures(scene);
  });

  void test('calls become twice as many', async context => {
    const scene = await start(context, {});
    const {fixture} = scene;
    await fixture.callFor({forMs: JUDGED_MS / 2, pauseMs: PAUSE_MS.QUIET});
    await fixture.callFor({forMs: JUDGED_MS / 2, pauseMs: PAUSE_MS.MIDDLE});
    assertFewFailures(scene);
  });

  void test('one of four runners is brittle: all calls are served', async context => {
    const scene = await start(context, {brittle: ['i-0']});
    const answers = await scene.fixture.callFor({
      forMs: JUDGED_MS,
      pauseMs: PAUSE_MS.BUSY,
    });
    assertFewFailures(scene);
    const refused = answers.filter(({status}) => status !== 200);
    assert.equal(refused.length, 0);
  });

  void test('nine of ten calls come to one host', async context => {
    const scene = await start(context, {});
    await scene.fixture.callFor({
      forMs: JUDGED_MS,
      pauseMs: PAUSE_MS.BUSY,
      hosts: [0, 0, 0, 0, 0, 0, 0, 0, 0, 1],
    });
    assertFewFailures(scene);
  });

  void test('the room becomes smaller after the runners have stated that they are brittle', async context => {
    const scene = await start(context, {room: LARGE_ROOM});
    await callWhileRoomShrinks(scene);
    assertFewFailures(scene);
  });
});

void test('runners that bear one rejection a second are busy', async context => {
  const scene = await start(context, {perSecond: LEAST_PER_SECOND});
  await scene.fixture.callFor({forMs: JUDGED_MS, pauseMs: PAUSE_MS.BUSY});
  assertFewFailures(scene);
});

void test('the room of runners that bear one rejection a second becomes smaller', async context => {
  const perSecond = LEAST_PER_SECOND;
  const scene = await start(context, {room: LARGE_ROOM, perSecond});
  await callWhileRoomShrinks(scene);
  assertFewFailures(scene);
});
