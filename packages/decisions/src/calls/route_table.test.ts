import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RouteTable} from './route_table.js';
import {sampleRoute} from './testing/sample_route.js';

void test('the longest path prefix of the host name wins, regardless of query and port', () => {
  const deeper = {...sampleRoute, name: 'deeper', pathPrefix: '/x/y/'};
  const table = new RouteTable([sampleRoute, deeper]);
  assert.equal(table.find('A.example:80', '/x/y/1?z=/x/')?.name, 'deeper');
  assert.equal(table.find('a.example', '/x/z')?.name, 'r');
  assert.equal(table.find('a.example', '/y/x/'), undefined);
  assert.equal(table.find('b.example', '/x/'), undefined);
});
