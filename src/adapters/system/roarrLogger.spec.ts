import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RoarrLogger } from './roarrLogger.js';

test('writes messages from its level on as JSON lines with prefix, context and VM', () => {
  const lines: string[] = [];
  const logger = RoarrLogger.create('info', 'vm1', {
    write: (line) => lines.push(line),
  }).forPart('intake');
  logger.debug('Too fine.');
  logger.info('A job started.', { jobId: 'a' });
  assert.is(lines.length, 1);
  const { context, message } = JSON.parse(lines[0] ?? '') as { context: object; message: string };
  assert.is(message, 'intake: A job started.');
  assert.equal(context, { jobId: 'a', logLevel: 30, vmId: 'vm1' });
});

test.run();
