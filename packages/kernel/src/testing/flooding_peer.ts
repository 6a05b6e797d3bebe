import {Worker} from 'node:worker_threads';

interface Options {
  /** What is sent once, on each connection. */
  readonly head: string;
  /** What is sent without end behind it. */
  readonly repeated: string;
}

interface WorkerData extends Options {
  /** The port to connect to; the peer listens if absent. */
  readonly port?: number;
}

/** Runs on its own thread, so that what it does takes no time of the event loop that a test measures. */
const PROGRAM = `
const {parentPort, workerData} = require('node:worker_threads');
const {createServer, connect} = require('node:net');
const piece = Buffer.from(workerData.repeated);
function flood(socket) {
  const write = () => { while (!socket.destroyed && socket.write(piece)); };
  socket.write(workerData.head);
  socket.on('drain', write);
  write();
}
if (workerData.port) {
  const socket = connect(workerData.port, '127.0.0.1', () => flood(socket));
  socket.on('error', () => undefined);
  socket.on('close', () => parentPort.postMessage('closed'));
  socket.resume();
} else {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => flood(socket));
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
}
`;

/** A peer that sends bytes without end, as fast as they are taken. */
export class FloodingPeer {
  private constructor(private readonly worker: Worker) {}

  /** Starts a server that floods each connection behind the first bytes of its caller. @returns also its IP:PORT */
  static async listen(
    options: Options,
  ): Promise<{peer: FloodingPeer; address: string}> {
    const worker = startWorker(options);
    const port = await nextMessage(worker);
    return {peer: new FloodingPeer(worker), address: `127.0.0.1:${port}`};
  }

  /** Floods a connection to a local port; resolves once it is closed. */
  static async floodPort(port: number, options: Options): Promise<void> {
    const worker = startWorker({...options, port});
    await nextMessage(worker);
    await worker.terminate();
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}

function startWorker(workerData: WorkerData): Worker {
  return new Worker(PROGRAM, {eval: true, workerData});
}

function nextMessage(worker: Worker): Promise<unknown> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
