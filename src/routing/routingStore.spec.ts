import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { routeFixture } from '../testing/dispatchFixtures.js';
import { RoutingStore } from './routingStore.js';
import type { Route, Routing } from '../types/routing.js';

const route = (routeId: string, pathPrefix: string): Route => ({
  ...routeFixture,
  routeId,
  host: 'Jobs.example',
  pathPrefix,
});

const routing = (version: number, routes: readonly Route[]): Routing => ({
  version,
  routes: [...routes],
  services: [],
  maxBodyBytes: 1_000,
});

test('an older or equal version is never activated', () => {
  const store = RoutingStore.create();
  assert.ok(store.apply(routing(7, [route('a', '/a/')])));
  assert.not.ok(store.apply(routing(4, [])));
  assert.not.ok(store.apply(routing(7, [])));
  assert.is(store.current?.routing.routes.length, 1);
  assert.ok(store.apply(routing(12, [])));
  assert.is(store.version, 12);
});

test('the route of the host with the longest matching path prefix is found', () => {
  const store = RoutingStore.create();
  store.apply(routing(1, [route('short', '/a/'), route('long', '/a/b/')]));
  const find = (host: string, path: string) => store.current?.table.find(host, path)?.routeId;
  assert.is(find('jobs.example', '/a/b/1'), 'long');
  assert.is(find('JOBS.EXAMPLE', '/a/c'), 'short');
  assert.is(find('jobs.example', '/c/'), undefined);
  assert.is(find('other.example', '/a/'), undefined);
});

test.run();
