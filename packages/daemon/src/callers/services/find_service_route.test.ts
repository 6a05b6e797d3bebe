// Guards against taking a property that every object inherits for a service that the operator configured.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Configuration} from '@bayspool/decisions';
import {findServiceRoute} from './find_service_route.js';

void test('there is no service with the name of an inherited property', () => {
  const config = {services: {}} as Configuration;
  for (const name of Object.getOwnPropertyNames(Object.prototype))
    assert.throws(
      () => findServiceRoute(config, name, 'GET', '/x'),
      /there is no service/,
      name,
    );
});
