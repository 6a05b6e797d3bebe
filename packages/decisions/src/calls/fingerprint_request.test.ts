import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fingerprintRequest} from './fingerprint_request.js';

const CONTENT = {
  method: 'POST',
  hostName: 'calls.example',
  path: '/x/1',
  workspace: 'acme',
  body: Buffer.from('a question'),
};

void test('every part of the content, and the workspace, changes the fingerprint', () => {
  const others = [
    {...CONTENT, method: 'PUT'},
    {...CONTENT, hostName: 'other.example'},
    {...CONTENT, path: '/x/2'},
    {...CONTENT, workspace: 'other'},
    {...CONTENT, workspace: undefined},
    {...CONTENT, body: Buffer.from('a questiom')},
    {...CONTENT, body: Buffer.from('a question ')},
    {...CONTENT, body: Buffer.alloc(0)},
  ];
  const fingerprints = [CONTENT, ...others].map(fingerprintRequest);
  assert.equal(new Set(fingerprints).size, fingerprints.length);
});

void test('the same bytes have the same fingerprint at any offset in memory', () => {
  const asBytes = fc.uint8Array({maxLength: 60});
  fc.assert(
    fc.property(asBytes, fc.nat(9), (bytes, offset) => {
      const moved = Buffer.concat([Buffer.alloc(offset), bytes]);
      const body = moved.subarray(offset);
      const fingerprint = fingerprintRequest({...CONTENT, body: bytes});
      assert.equal(fingerprintRequest({...CONTENT, body}), fingerprint);
      assert.match(fingerprint, /^[0-9a-f]{16}$/);
    }),
  );
});

void test('bodies that differ in one bit have different fingerprints', () => {
  const asBytes = fc.uint8Array({minLength: 1, maxLength: 60});
  fc.assert(
    fc.property(asBytes, fc.nat(), fc.nat(7), (bytes, place, bit) => {
      const changed = Uint8Array.from(bytes);
      changed[place % bytes.length] ^= 1 << bit;
      const one = fingerprintRequest({...CONTENT, body: bytes});
      assert.notEqual(fingerprintRequest({...CONTENT, body: changed}), one);
    }),
  );
});
