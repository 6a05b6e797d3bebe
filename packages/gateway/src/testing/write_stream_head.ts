import type {ServerResponse} from 'node:http';
import {plainHeaderNames as names} from './plain_header_names.js';

/** Writes the head of a scripted runner's stream. */
export function writeStreamHead(id: string, response: ServerResponse): void {
  response.writeHead(200, {
    [names.requestId]: id,
    [names.signature]: 'signed',
    'content-type': 'text/event-stream',
  });
}
