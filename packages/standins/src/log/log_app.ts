import express, {type Express} from 'express';
import {z} from 'zod';
import type {MemoryLog} from './memory_log.js';

const BODY_MOST = '16mb';
const appendBody = z.object({values: z.array(z.string()).min(1)});
const readQuery = z.object({
  from: z.coerce.number().int().min(0),
  wait_ms: z.coerce.number().min(0).max(60_000).default(0),
});

interface Options {
  readonly log: MemoryLog;
  /** Append calls that are served in a second; above it the answer is 429. */
  readonly appendsPerSecond: number;
}

const SECOND_MS = 1_000;

/**
 * The log service over HTTP: `POST /streams/<name>/records` with `{values}` gives
 * `{offset}`; `GET` with `from` and `wait_ms` gives `{records, first, next}`.
 */
export function createLogApp(options: Options): Express {
  const {log} = options;
  const app = express();
  let windowStart = 0;
  let windowCount = 0;
  app.disable('x-powered-by');
  app.use(express.json({limit: BODY_MOST}));
  app.post('/streams/:name/records', async (request, response) => {
    const now = performance.now();
    if (now - windowStart > SECOND_MS) {
      windowStart = now;
      windowCount = 0;
    }
    if (++windowCount > options.appendsPerSecond) {
      response.status(429).json({error: 'too many appends'});
      return;
    }
    const body = appendBody.safeParse(request.body);
    if (!body.success) {
      response.status(400).json({error: body.error.message});
      return;
    }
    response.json({
      offset: await log.append(request.params.name, body.data.values),
    });
  });
  app.get('/streams/:name/records', async (request, response) => {
    const query = readQuery.safeParse(request.query);
    if (!query.success) {
      response.status(400).json({error: query.error.message});
      return;
    }
    const left = new AbortController();
    response.on('close', () => left.abort());
    response.json(
      await log.read(request.params.name, query.data.from, {
        waitMs: query.data.wait_ms,
        signal: left.signal,
      }),
    );
  });
  app.get('/stats', (_request, response) => {
    response.json({appends: log.appends, ends: log.ends()});
  });
  return app;
}
