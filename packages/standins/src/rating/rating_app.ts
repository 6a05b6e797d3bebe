import express, {type Express} from 'express';
import {z} from 'zod';
import type {MemoryRating} from './memory_rating.js';

const sampleBody = z.object({
  host: z.string(),
  request_id: z.string(),
  version: z.string(),
  task: z.string(),
  workspace: z.string(),
  answer: z.string(),
});
const resultsQuery = z.object({
  host: z.string(),
  after: z.coerce.number().int().min(0),
  wait_ms: z.coerce.number().min(0).max(60_000).default(0),
});
const controlBody = z.object({
  quality: z.record(z.string(), z.number()).default({}),
  delay_ms: z.number().optional(),
});
const truthQuery = z.object({
  request_id: z.string(),
  version: z.string(),
  task: z.string(),
});

/** The rating service over HTTP: `POST /samples`, `GET /results`; `POST /control` and `GET /truth` are for tests. */
export function createRatingApp(rating: MemoryRating): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use(express.json({limit: '4mb'}));
  app.post('/samples', async (request, response) => {
    const {request_id: requestId, ...sample} = sampleBody.parse(request.body);
    await rating.submit({...sample, requestId});
    response.status(202).json({});
  });
  app.get('/results', async (request, response) => {
    const {host, after, wait_ms: waitMs} = resultsQuery.parse(request.query);
    const left = new AbortController();
    response.on('close', () => left.abort());
    response.json(await rating.fetchResults(host, after, waitMs, left.signal));
  });
  app.post('/control', (request, response) => {
    const body = controlBody.parse(request.body);
    Object.assign(rating.quality, body.quality);
    rating.delayMs = body.delay_ms ?? rating.delayMs;
    response.json({});
  });
  app.get('/truth', (request, response) => {
    const {
      request_id: requestId,
      version,
      task,
    } = truthQuery.parse(request.query);
    response.json({good: rating.isGood(requestId, version, task)});
  });
  return app;
}
