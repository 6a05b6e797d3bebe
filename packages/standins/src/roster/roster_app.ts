import express, {type Express} from 'express';
import {z} from 'zod';
import type {MemoryRoster} from './memory_roster.js';

const entriesBody = z.array(z.object({id: z.string(), leaving: z.boolean()}));

/** The host list over HTTP: `GET /entries`; `PUT /entries` is for tests. */
export function createRosterApp(roster: MemoryRoster): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use(express.json());
  app.get('/entries', async (_request, response) => {
    response.json(await roster.list());
  });
  app.put('/entries', (request, response) => {
    roster.set(entriesBody.parse(request.body));
    response.json({});
  });
  return app;
}
