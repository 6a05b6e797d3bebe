#!/usr/bin/env node
import {randomInt} from 'node:crypto';
import {SeededRandom, SystemClock} from '@bayspool/kernel';
import meow from 'meow';
import {readFlags} from './programs/read_flags.js';
import {Engine} from './engine/engine.js';
import {createEngineApp} from './engine/engine_app.js';
import {createLogApp} from './log/log_app.js';
import {MemoryLog} from './log/memory_log.js';
import {listen} from './programs/listen.js';
import {createRatingApp} from './rating/rating_app.js';
import {MemoryRating} from './rating/memory_rating.js';
import {MemoryRoster} from './roster/memory_roster.js';
import {createRosterApp} from './roster/roster_app.js';
import {PackApp} from './service/pack_app.js';
import {createServiceApp} from './service/service_app.js';
import {MemoryWeightStore} from './weights/memory_weight_store.js';
import {createWeightsApp} from './weights/weights_app.js';

const SEED_BOUND = 2 ** 31;

const settingsArgs = readFlags(process.argv.slice(2));

const cli = meow(
  `
  Runs one stand-in as a program.

  Usage
    main.js log|engine|service|rating|roster|weights --listen 127.0.0.1:9000
    main.js --settings FILE.ini

  Options
    --settings           an INI file whose section [standin] has kind and the options
                         below; options on the command line go before it
    --listen             where to listen; port 0 takes a free one
    --retention-ms       log: how long records are kept
    --appends-per-second log: appends served in a second
    --id                 engine: its name
    --versions           engine: loaded versions, separated by commas
    --slots              engine: requests generated at once
    --step-ms            engine: time of a step of the batch
    --crowd-ms           engine: what each further request adds to a step
    --prefill-ms         engine: time for a thousand prompt tokens
    --answer-tokens      engine: tokens of an answer without a bound
    --load-ms            engine: time to load weights
    --report-lag-ms      engine: how late load is published
    --lose-every         engine: every how many cache events one is lost
    --cache              engine: prefixes that the cache holds
    --unchecked          engine: takes orders without looking at the fencing token
    --work-ms            service: how long a call takes
    --quality            rating: part of good answers, as geo-small@1=0.8,geo-large@2=0.97
    --noise              rating: part of wrong ratings
    --delay-ms           rating: mean time until a rating is there
    --seed               rating: seeds which answers are good
    --lag-ms             roster: how late the list is
    --loads-per-minute   weights: loads served in a minute
`,
  {
    importMeta: import.meta,
    argv: settingsArgs,
    allowUnknownFlags: false,
    flags: {
      settings: {type: 'string'},
      listen: {type: 'string', default: '127.0.0.1:0'},
      retentionMs: {type: 'number', default: 86_400_000},
      appendsPerSecond: {type: 'number', default: 400},
      id: {type: 'string', default: 'engine'},
      versions: {type: 'string', default: ''},
      slots: {type: 'number', default: 16},
      stepMs: {type: 'number', default: 8},
      crowdMs: {type: 'number', default: 0.4},
      prefillMs: {type: 'number', default: 60},
      answerTokens: {type: 'number', default: 24},
      loadMs: {type: 'number', default: 2_000},
      reportLagMs: {type: 'number', default: 500},
      loseEvery: {type: 'number', default: 0},
      cache: {type: 'number', default: 256},
      unchecked: {type: 'boolean', default: false},
      workMs: {type: 'number', default: 5},
      quality: {type: 'string', default: ''},
      noise: {type: 'number', default: 0},
      delayMs: {type: 'number', default: 300},
      seed: {type: 'number', default: 0},
      lagMs: {type: 'number', default: 0},
      loadsPerMinute: {type: 'number', default: 60},
    },
  },
);

const clock = new SystemClock();
const {flags} = cli;

function words(text: string): string[] {
  return text.split(',').filter(Boolean);
}

const apps = {
  log: () =>
    createLogApp({
      log: new MemoryLog({clock, retentionMs: flags.retentionMs}),
      appendsPerSecond: flags.appendsPerSecond,
    }),
  engine: () =>
    createEngineApp(
      new Engine({
        ...flags,
        clock,
        versions: words(flags.versions),
        cacheMost: flags.cache,
        checksOrders: !flags.unchecked,
      }),
    ),
  service: () => createServiceApp(new PackApp({clock, workMs: flags.workMs})),
  rating: () =>
    createRatingApp(
      new MemoryRating({
        ...flags,
        clock,
        random: new SeededRandom(flags.seed || randomInt(SEED_BOUND)),
        quality: Object.fromEntries(
          words(flags.quality).map(item => [
            item.split('=')[0],
            Number(item.split('=')[1]),
          ]),
        ),
      }),
    ),
  roster: () => createRosterApp(new MemoryRoster({clock, lagMs: flags.lagMs})),
  weights: () =>
    createWeightsApp(
      new MemoryWeightStore({loadsPerMinute: flags.loadsPerMinute}),
    ),
};

const kind = cli.input[0] as keyof typeof apps;
if (!(kind in apps)) {
  console.error(
    `unknown stand-in ${kind}; name one of ${Object.keys(apps).join(', ')}`,
  );
  process.exitCode = 2;
} else {
  await listen(apps[kind](), flags.listen, kind);
  process.on('SIGTERM', () => process.exit(0));
}
