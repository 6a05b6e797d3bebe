import express, {type Express} from 'express';
import type {MemoryWeightStore} from './memory_weight_store.js';

/** The weight store over HTTP: `GET /rate` gives `{loads_per_minute}`. */
export function createWeightsApp(store: MemoryWeightStore): Express {
  const app = express();
  app.disable('x-powered-by');
  app.get('/rate', async (_request, response) => {
    response.json({loads_per_minute: await store.loadsPerMinute()});
  });
  return app;
}
