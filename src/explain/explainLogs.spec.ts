import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { explainLogs } from './explainLogs.js';
import { parseLog } from './logLines.js';

const line = (time: number, message: string, context: object): string =>
  JSON.stringify({ message, time, context, sequence: '1' });

const log = [
  line(1_000, 'jobs: A job is accepted.', { vmId: 'vm-1', jobId: 'ab', count: 1 }),
  // The clock of vm-2 is half a second behind; a log collector has put a prefix before the JSON.
  `  3.1 vm-2 ${line(503, 'dispatch: A run is started.', { vmId: 'vm-2', taskName: 'ab.0.0.0', run: 1, workerId: 'i-1' })}`,
  line(620, 'dispatch: A run has ended.', { vmId: 'vm-2', taskName: 'ab.0.0.0', outcome: 'done' }),
  line(1_125, 'jobs: A job has ended.', {
    vmId: 'vm-1',
    jobId: 'ab',
    outcome: 'failed',
    reason: '3 runs failed',
  }),
  line(1_050, 'jobs: A job is accepted.', { vmId: 'vm-1', jobId: 'abcd', count: 1 }),
  '{"message":"cut o',
].join('\n');

test('orders the events of a job causally, despite clock offsets between VMs', () => {
  const sentences = explainLogs(parseLog(log), 'ab');
  assert.is(sentences.length, 4);
  assert.match(sentences[0] ?? '', /^\+0 ms vm-1: A job is accepted\. \(1 tasks\)/);
  assert.match(sentences[1] ?? '', /^\+0 ms vm-2: A run is started\. \(task 0\.0, run 1, on i-1\)/);
  assert.match(sentences[3] ?? '', /vm-1: A job has ended\. \(failed, because 3 runs failed\)/);
});

test('returns no sentences for a job that no line mentions', () => {
  assert.equal(explainLogs(parseLog(log), 'ff'), []);
});

test.run();
