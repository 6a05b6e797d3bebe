import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventSplitter} from './event_splitter.js';

void test('events are returned whole, wherever the chunks are split', () => {
  const text =
    'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda';
  for (const size of [1, 2, 3, 7, 100]) {
    const splitter = new EventSplitter();
    const events = [];
    for (let at = 0; at < text.length; at += size)
      events.push(...splitter.push(Buffer.from(text.slice(at, at + size))));
    assert.deepEqual(
      events.map(({id}) => id),
      [1, 2, undefined],
    );
    const bytes = Buffer.concat(events.map(event => event.bytes)).toString();
    assert.equal(bytes, text.slice(0, text.lastIndexOf('id: 3')));
    assert.equal(splitter.pendingBytes, 'id: 3\nda'.length);
  }
});
