import express, {type Express} from 'express';
import type {PackApp} from './pack_app.js';

const BODY_MOST = '16mb';

/** The packing app over HTTP. */
export function createServiceApp(packApp: PackApp): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use(express.raw({type: () => true, limit: BODY_MOST}));
  app.use(async (request, response) => {
    const answer = await packApp.handle({
      requestId: String(request.headers['bayspool-request-id'] ?? ''),
      method: request.method,
      path: request.originalUrl,
      headers: request.headers as Record<string, string>,
      body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    });
    response
      .status(answer.status)
      .set(answer.headers as Record<string, string>)
      .send(answer.body);
  });
  return app;
}
