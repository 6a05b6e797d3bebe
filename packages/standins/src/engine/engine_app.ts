import {
  RunnerFailure,
  type GenerateEvent,
  type GenerateRequest,
} from '@bayspool/decisions';
import express, {type Express, type Request, type Response} from 'express';
import {z} from 'zod';
import type {Engine} from './engine.js';

const BODY_MOST = '32mb';
const REFUSED_HEADER = 'x-engine-refused';

const orderBody = z.object({
  version: z.string(),
  desired: z.enum(['loaded', 'unloaded']),
  fencing_token: z.number().int(),
});
const generateBody = z.looseObject({
  model: z.string(),
  request_id: z.string(),
  priority: z.enum(['urgent', 'interactive', 'bulk']).default('interactive'),
  resume: z
    .object({from: z.number().int().min(0), text: z.string()})
    .default({from: 0, text: ''}),
  prefixes: z.array(z.string()).default([]),
});

/**
 * A stand-in engine over HTTP. `POST /v1/chat/completions` streams in the OpenAI
 * format, with `request_id`, `resume` and `token_index` added. A refusal before
 * any work carries the header `x-engine-refused`.
 */
export function createEngineApp(engine: Engine): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use(express.json({limit: BODY_MOST}));
  app.post('/v1/chat/completions', (request, response) =>
    streamAnswer(engine, request, response),
  );
  app.get('/report', (_request, response) => {
    response.json(engine.report());
  });
  app.get('/cache-events', (request, response) => {
    response.json(engine.cacheEvents(Number(request.query.after ?? 0)));
  });
  app.post('/orders', (request, response) => {
    const body = orderBody.parse(request.body);
    try {
      engine.order({
        version: body.version,
        desired: body.desired,
        fencingToken: body.fencing_token,
      });
      response.json({});
    } catch (error) {
      response
        .status(409)
        .set(REFUSED_HEADER, 'stale')
        .json({error: String(error)});
    }
  });
  app.get('/runs', (_request, response) => {
    response.json({
      runs: engine.runs,
      weight_loads: engine.weightLoads,
      orders: engine.orders,
    });
  });
  return app;
}

async function streamAnswer(
  engine: Engine,
  request: Request,
  response: Response,
): Promise<void> {
  const body = generateBody.parse(request.body);
  const left = new AbortController();
  response.on('close', () => left.abort());
  try {
    for await (const event of engine.generate(toRequest(body), left.signal)) {
      if (!response.headersSent)
        response.writeHead(200, {'content-type': 'text/event-stream'});
      const flushed = response.write(
        `data: ${JSON.stringify(toChunk(event, body.model))}\n\n`,
      );
      if (!flushed && !left.signal.aborted) await drained(response);
    }
    response.end('data: [DONE]\n\n');
  } catch (error) {
    const refused = error instanceof RunnerFailure && !error.mayHaveRun;
    if (response.headersSent || !refused) {
      response.destroy();
      return;
    }
    response
      .status(503)
      .set(REFUSED_HEADER, error.busy ? 'busy' : 'unable')
      .json({error: error.message});
  }
}

function drained(response: Response): Promise<void> {
  return new Promise(resolve => {
    response.once('drain', resolve);
    response.once('close', resolve);
  });
}

function toRequest(body: z.output<typeof generateBody>): GenerateRequest {
  return {
    requestId: body.request_id,
    version: body.model,
    body,
    priority: body.priority,
    resumeFrom: body.resume.from,
    generatedText: body.resume.text,
    prefixes: body.prefixes,
    headers: {},
  };
}

function toChunk(event: GenerateEvent, model: string): object {
  const common = {id: event.requestId, object: 'chat.completion.chunk', model};
  if (event.kind === 'token') {
    return {
      ...common,
      token_index: event.index,
      choices: [{index: 0, delta: {content: event.text}, finish_reason: null}],
    };
  }
  return {
    ...common,
    choices: [{index: 0, delta: {}, finish_reason: event.finishReason}],
    usage: {
      prompt_tokens: event.usage.promptTokens,
      completion_tokens: event.usage.completionTokens,
    },
  };
}
