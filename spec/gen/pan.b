	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */

	case 3: // STATE 1
		;
		now.ver = trpt->bup.oval;
		;
		goto R999;

	case 4: // STATE 2
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 5: // STATE 3
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 6: // STATE 4
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 7: // STATE 5
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 8: // STATE 7
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Request */
;
		;
		
	case 10: // STATE 6
		;
		now.want[ Index(((P2 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P2 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 11: // STATE 6
		;
		now.want[ Index(((P2 *)_this)->i, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 12: // STATE 6
		;
		now.want[ Index(((P2 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P2 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 13: // STATE 9
		;
		((P2 *)_this)->t = trpt->bup.oval;
		;
		goto R999;

	case 14: // STATE 13
		;
		now.cur[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		((P2 *)_this)->tries = trpt->bup.ovals[1];
		((P2 *)_this)->a = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 15: // STATE 14
		;
		_m = unsend(now.sub[ Index(((int)((P2 *)_this)->i), 2) ]);
		;
		goto R999;

	case 16: // STATE 27
		;
		((P2 *)_this)->i = trpt->bup.ovals[6];
		((P2 *)_this)->a = trpt->bup.ovals[5];
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[4];
		now.got[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[3];
		now.cur[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		((P2 *)_this)->vt = trpt->bup.ovals[1];
		((P2 *)_this)->v = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 17: // STATE 27
		;
		((P2 *)_this)->i = trpt->bup.ovals[6];
		((P2 *)_this)->a = trpt->bup.ovals[5];
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[4];
		now.got[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[3];
		now.cur[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		((P2 *)_this)->vt = trpt->bup.ovals[1];
		((P2 *)_this)->v = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 18: // STATE 27
		;
		((P2 *)_this)->i = trpt->bup.ovals[4];
		((P2 *)_this)->a = trpt->bup.ovals[3];
		now.gotTerm[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		now.got[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[1];
		now.cur[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;
;
		;
		;
		;
		
	case 21: // STATE 33
		;
		now.toldNo[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 23: // STATE 49
		;
		((P2 *)_this)->vt = trpt->bup.ovals[2];
		((P2 *)_this)->v = trpt->bup.ovals[1];
		((P2 *)_this)->t = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		
	case 25: // STATE 49
		;
		((P2 *)_this)->vt = trpt->bup.ovals[3];
		((P2 *)_this)->v = trpt->bup.ovals[2];
		((P2 *)_this)->t = trpt->bup.ovals[1];
		((P2 *)_this)->open = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 26: // STATE 49
		;
		((P2 *)_this)->vt = trpt->bup.ovals[2];
		((P2 *)_this)->v = trpt->bup.ovals[1];
		((P2 *)_this)->t = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 27: // STATE 51
		;
		((P2 *)_this)->tries = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 29: // STATE 57
		;
		now.toldNo[ Index(((P2 *)_this)->r, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 30: // STATE 66
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Writer */

	case 31: // STATE 8
		;
		((P1 *)_this)->ready = trpt->bup.ovals[6];
		((P1 *)_this)->disp = trpt->bup.ovals[5];
		((P1 *)_this)->cancelled = trpt->bup.ovals[4];
		((P1 *)_this)->rterm = trpt->bup.ovals[3];
		((P1 *)_this)->att = trpt->bup.ovals[2];
		((P1 *)_this)->st = trpt->bup.ovals[1];
		((P1 *)_this)->wver = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 32: // STATE 11
		;
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 33: // STATE 90
		goto R999;

	case 34: // STATE 14
		;
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 35: // STATE 19
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->wtok = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 36: // STATE 29
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[5];
		((P1 *)_this)->writing = trpt->bup.ovals[4];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[3];
		((P1 *)_this)->urterm = trpt->bup.ovals[2];
		((P1 *)_this)->uatt = trpt->bup.ovals[1];
		((P1 *)_this)->ust = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 37: // STATE 29
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 39: // STATE 37
		;
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		
	case 40: // STATE 49
		goto R999;

	case 41: // STATE 46
		;
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 42: // STATE 52
		;
		((P1 *)_this)->taking = trpt->bup.oval;
		;
		goto R999;

	case 43: // STATE 57
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->wtok = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 44: // STATE 67
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[5];
		((P1 *)_this)->writing = trpt->bup.ovals[4];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[3];
		((P1 *)_this)->urterm = trpt->bup.ovals[2];
		((P1 *)_this)->uatt = trpt->bup.ovals[1];
		((P1 *)_this)->ust = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 45: // STATE 67
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 47: // STATE 75
		;
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		
	case 48: // STATE 87
		goto R999;

	case 49: // STATE 84
		;
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 50: // STATE 92
		;
		XX = 1;
		unrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 0, ((int)((P1 *)_this)->r), 1);
		unrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 1, ((int)((P1 *)_this)->a), 0);
		unrecv(now.sub[ Index(((int)((P1 *)_this)->i), 2) ], XX-1, 2, ((int)((P1 *)_this)->t), 0);
		((P1 *)_this)->r = trpt->bup.ovals[0];
		((P1 *)_this)->a = trpt->bup.ovals[1];
		((P1 *)_this)->t = trpt->bup.ovals[2];
		;
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 52: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[5];
		((P1 *)_this)->a = trpt->bup.ovals[4];
		((P1 *)_this)->r = trpt->bup.ovals[3];
		now.cur[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[1];
		now.got[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 53: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[7];
		((P1 *)_this)->a = trpt->bup.ovals[6];
		((P1 *)_this)->r = trpt->bup.ovals[5];
		((P1 *)_this)->dirty = trpt->bup.ovals[4];
		((P1 *)_this)->waiting[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 54: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[3];
		((P1 *)_this)->a = trpt->bup.ovals[2];
		((P1 *)_this)->r = trpt->bup.ovals[1];
		((P1 *)_this)->waiting[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		
	case 56: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[5];
		((P1 *)_this)->a = trpt->bup.ovals[4];
		((P1 *)_this)->r = trpt->bup.ovals[3];
		now.cur[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[1];
		now.got[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		;
		
	case 58: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[5];
		((P1 *)_this)->a = trpt->bup.ovals[4];
		((P1 *)_this)->r = trpt->bup.ovals[3];
		now.cur[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[1];
		now.got[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		;
		
	case 60: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[5];
		((P1 *)_this)->a = trpt->bup.ovals[4];
		((P1 *)_this)->r = trpt->bup.ovals[3];
		now.cur[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[2];
		now.gotTerm[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[1];
		now.got[ Index(((P1 *)_this)->r, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 61: // STATE 144
		;
		((P1 *)_this)->t = trpt->bup.ovals[2];
		((P1 *)_this)->a = trpt->bup.ovals[1];
		((P1 *)_this)->r = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 63: // STATE 151
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->wtok = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 64: // STATE 161
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[5];
		((P1 *)_this)->writing = trpt->bup.ovals[4];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[3];
		((P1 *)_this)->urterm = trpt->bup.ovals[2];
		((P1 *)_this)->uatt = trpt->bup.ovals[1];
		((P1 *)_this)->ust = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 65: // STATE 161
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 67: // STATE 169
		;
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		
	case 68: // STATE 181
		goto R999;

	case 69: // STATE 178
		;
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		;
		
	case 71: // STATE 189
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->wtok = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 72: // STATE 199
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[5];
		((P1 *)_this)->writing = trpt->bup.ovals[4];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[3];
		((P1 *)_this)->urterm = trpt->bup.ovals[2];
		((P1 *)_this)->uatt = trpt->bup.ovals[1];
		((P1 *)_this)->ust = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 73: // STATE 199
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 75: // STATE 207
		;
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index((2*((P1 *)_this)->i), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		
	case 76: // STATE 219
		goto R999;

	case 77: // STATE 216
		;
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].expect = trpt->bup.ovals[1];
		now.net[ Index(((2*((P1 *)_this)->i)+1), 4) ].busy = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 78: // STATE 223
		;
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 79: // STATE 226
		;
		((P1 *)_this)->wtok = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		((P1 *)_this)->wver = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 80: // STATE 247
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[9];
		((P1 *)_this)->uatt = trpt->bup.ovals[8];
		((P1 *)_this)->ust = trpt->bup.ovals[7];
		((P1 *)_this)->uterm = trpt->bup.ovals[6];
		((P1 *)_this)->ready = trpt->bup.ovals[5];
		((P1 *)_this)->cancelled = trpt->bup.ovals[4];
		((P1 *)_this)->disp = trpt->bup.ovals[3];
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[2];
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P1 *)_this)->taking = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 81: // STATE 247
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[7];
		((P1 *)_this)->uatt = trpt->bup.ovals[6];
		((P1 *)_this)->ust = trpt->bup.ovals[5];
		((P1 *)_this)->uterm = trpt->bup.ovals[4];
		((P1 *)_this)->cancelled = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 82: // STATE 247
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->ready = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 83: // STATE 247
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[3];
		((P1 *)_this)->uatt = trpt->bup.ovals[2];
		((P1 *)_this)->ust = trpt->bup.ovals[1];
		((P1 *)_this)->uterm = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 84: // STATE 251
		;
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 86: // STATE 255
		;
		((P1 *)_this)->wtok = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		((P1 *)_this)->wver = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 87: // STATE 276
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[9];
		((P1 *)_this)->uatt = trpt->bup.ovals[8];
		((P1 *)_this)->ust = trpt->bup.ovals[7];
		((P1 *)_this)->uterm = trpt->bup.ovals[6];
		((P1 *)_this)->ready = trpt->bup.ovals[5];
		((P1 *)_this)->cancelled = trpt->bup.ovals[4];
		((P1 *)_this)->disp = trpt->bup.ovals[3];
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[2];
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P1 *)_this)->taking = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 88: // STATE 276
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[7];
		((P1 *)_this)->uatt = trpt->bup.ovals[6];
		((P1 *)_this)->ust = trpt->bup.ovals[5];
		((P1 *)_this)->uterm = trpt->bup.ovals[4];
		((P1 *)_this)->cancelled = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 89: // STATE 276
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->ready = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 90: // STATE 276
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[3];
		((P1 *)_this)->uatt = trpt->bup.ovals[2];
		((P1 *)_this)->ust = trpt->bup.ovals[1];
		((P1 *)_this)->uterm = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		
	case 91: // STATE 336
		goto R999;
;
		;
		
	case 93: // STATE 287
		;
		((P1 *)_this)->ready = trpt->bup.ovals[8];
		((P1 *)_this)->dirty = trpt->bup.ovals[7];
		((P1 *)_this)->urterm = trpt->bup.ovals[6];
		((P1 *)_this)->uatt = trpt->bup.ovals[5];
		((P1 *)_this)->ust = trpt->bup.ovals[4];
		((P1 *)_this)->uterm = trpt->bup.ovals[3];
		((P1 *)_this)->wtok = trpt->bup.ovals[2];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P1 *)_this)->writing = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 94: // STATE 289
		;
		((P1 *)_this)->taking = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 95: // STATE 333
		goto R999;

	case 96: // STATE 291
		;
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 98: // STATE 301
		;
		((P1 *)_this)->waiting[0] = trpt->bup.ovals[3];
		now.cur[0] = trpt->bup.ovals[2];
		now.gotTerm[0] = trpt->bup.ovals[1];
		now.got[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 99: // STATE 301
		;
		((P1 *)_this)->waiting[0] = trpt->bup.oval;
		;
		goto R999;

	case 100: // STATE 310
		;
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[3];
		now.cur[1] = trpt->bup.ovals[2];
		now.gotTerm[1] = trpt->bup.ovals[1];
		now.got[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 101: // STATE 310
		;
		((P1 *)_this)->waiting[1] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 103: // STATE 313
		;
		_m = unsend(now.proof);
		;
		goto R999;
;
		;
		
	case 105: // STATE 331
		;
		((P1 *)_this)->disp = trpt->bup.ovals[6];
		((P1 *)_this)->cancelled = trpt->bup.ovals[5];
		((P1 *)_this)->rterm = trpt->bup.ovals[4];
		((P1 *)_this)->att = trpt->bup.ovals[3];
		((P1 *)_this)->st = trpt->bup.ovals[2];
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = trpt->bup.ovals[1];
		now.runs = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 106: // STATE 331
		;
		((P1 *)_this)->disp = trpt->bup.ovals[4];
		((P1 *)_this)->cancelled = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;
;
		;
		
	case 108: // STATE 347
		;
		((P1 *)_this)->ready = trpt->bup.ovals[8];
		((P1 *)_this)->dirty = trpt->bup.ovals[7];
		((P1 *)_this)->urterm = trpt->bup.ovals[6];
		((P1 *)_this)->uatt = trpt->bup.ovals[5];
		((P1 *)_this)->ust = trpt->bup.ovals[4];
		((P1 *)_this)->uterm = trpt->bup.ovals[3];
		((P1 *)_this)->wtok = trpt->bup.ovals[2];
		now.ans[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P1 *)_this)->writing = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 109: // STATE 349
		;
		((P1 *)_this)->taking = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 110: // STATE 393
		goto R999;

	case 111: // STATE 351
		;
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 113: // STATE 361
		;
		((P1 *)_this)->waiting[0] = trpt->bup.ovals[3];
		now.cur[0] = trpt->bup.ovals[2];
		now.gotTerm[0] = trpt->bup.ovals[1];
		now.got[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 114: // STATE 361
		;
		((P1 *)_this)->waiting[0] = trpt->bup.oval;
		;
		goto R999;

	case 115: // STATE 370
		;
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[3];
		now.cur[1] = trpt->bup.ovals[2];
		now.gotTerm[1] = trpt->bup.ovals[1];
		now.got[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 116: // STATE 370
		;
		((P1 *)_this)->waiting[1] = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 118: // STATE 373
		;
		_m = unsend(now.proof);
		;
		goto R999;
;
		;
		
	case 120: // STATE 391
		;
		((P1 *)_this)->disp = trpt->bup.ovals[6];
		((P1 *)_this)->cancelled = trpt->bup.ovals[5];
		((P1 *)_this)->rterm = trpt->bup.ovals[4];
		((P1 *)_this)->att = trpt->bup.ovals[3];
		((P1 *)_this)->st = trpt->bup.ovals[2];
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = trpt->bup.ovals[1];
		now.runs = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 121: // STATE 391
		;
		((P1 *)_this)->disp = trpt->bup.ovals[4];
		((P1 *)_this)->cancelled = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;
;
		;
		
	case 123: // STATE 399
		;
		((P1 *)_this)->wtok = trpt->bup.ovals[2];
		((P1 *)_this)->writing = trpt->bup.ovals[1];
		((P1 *)_this)->wver = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 124: // STATE 420
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[9];
		((P1 *)_this)->uatt = trpt->bup.ovals[8];
		((P1 *)_this)->ust = trpt->bup.ovals[7];
		((P1 *)_this)->uterm = trpt->bup.ovals[6];
		((P1 *)_this)->ready = trpt->bup.ovals[5];
		((P1 *)_this)->cancelled = trpt->bup.ovals[4];
		((P1 *)_this)->disp = trpt->bup.ovals[3];
		now.wterm[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[2];
		now.owned[ Index(((P1 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		((P1 *)_this)->taking = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 11);
		goto R999;

	case 125: // STATE 420
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[7];
		((P1 *)_this)->uatt = trpt->bup.ovals[6];
		((P1 *)_this)->ust = trpt->bup.ovals[5];
		((P1 *)_this)->uterm = trpt->bup.ovals[4];
		((P1 *)_this)->cancelled = trpt->bup.ovals[3];
		((P1 *)_this)->rterm = trpt->bup.ovals[2];
		((P1 *)_this)->att = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 126: // STATE 420
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[4];
		((P1 *)_this)->uatt = trpt->bup.ovals[3];
		((P1 *)_this)->ust = trpt->bup.ovals[2];
		((P1 *)_this)->uterm = trpt->bup.ovals[1];
		((P1 *)_this)->ready = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 127: // STATE 420
		;
		((P1 *)_this)->urterm = trpt->bup.ovals[3];
		((P1 *)_this)->uatt = trpt->bup.ovals[2];
		((P1 *)_this)->ust = trpt->bup.ovals[1];
		((P1 *)_this)->uterm = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 128: // STATE 426
		;
		now.ranFor[ Index(((((P1 *)_this)->att-1)/2), 2) ] = trpt->bup.ovals[2];
		now.runs = trpt->bup.ovals[1];
		((P1 *)_this)->disp = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 129: // STATE 432
		;
		((P1 *)_this)->ready = trpt->bup.ovals[1];
		((P1 *)_this)->st = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 130: // STATE 441
		;
		((P1 *)_this)->waiting[0] = trpt->bup.ovals[3];
		now.cur[0] = trpt->bup.ovals[2];
		now.gotTerm[0] = trpt->bup.ovals[1];
		now.got[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 131: // STATE 441
		;
		((P1 *)_this)->waiting[0] = trpt->bup.oval;
		;
		goto R999;

	case 132: // STATE 452
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[4];
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[3];
		now.cur[1] = trpt->bup.ovals[2];
		now.gotTerm[1] = trpt->bup.ovals[1];
		now.got[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 133: // STATE 452
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[1];
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 134: // STATE 456
		;
		((P1 *)_this)->ready = trpt->bup.ovals[1];
		((P1 *)_this)->cancelled = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 135: // STATE 465
		;
		((P1 *)_this)->waiting[0] = trpt->bup.ovals[3];
		now.cur[0] = trpt->bup.ovals[2];
		now.gotTerm[0] = trpt->bup.ovals[1];
		now.got[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 136: // STATE 465
		;
		((P1 *)_this)->waiting[0] = trpt->bup.oval;
		;
		goto R999;

	case 137: // STATE 476
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[4];
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[3];
		now.cur[1] = trpt->bup.ovals[2];
		now.gotTerm[1] = trpt->bup.ovals[1];
		now.got[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 138: // STATE 476
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[1];
		((P1 *)_this)->waiting[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 140: // STATE 483
		;
		((P1 *)_this)->dirty = trpt->bup.ovals[4];
		((P1 *)_this)->rterm = trpt->bup.ovals[3];
		((P1 *)_this)->att = trpt->bup.ovals[2];
		((P1 *)_this)->st = trpt->bup.ovals[1];
		XX = trpt->bup.ovals[0];
		unrecv(now.proof, XX-1, 0, ((int)((P1 *)_this)->att), 1);
		;
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 141: // STATE 488
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC Store */

	case 142: // STATE 11
		;
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = trpt->bup.ovals[1];
		((P0 *)_this)->s = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 143: // STATE 11
		;
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = trpt->bup.ovals[1];
		((P0 *)_this)->s = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 144: // STATE 11
		;
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = trpt->bup.ovals[1];
		((P0 *)_this)->s = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 145: // STATE 11
		;
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = trpt->bup.ovals[1];
		((P0 *)_this)->s = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 146: // STATE 11
		;
		now.net[ Index(((P0 *)_this)->s, 4) ].busy = trpt->bup.oval;
		;
		goto R999;

	case 147: // STATE 18
		;
		now.page.rterm = trpt->bup.ovals[5];
		now.page.att = trpt->bup.ovals[4];
		now.page.st = trpt->bup.ovals[3];
		now.page.tok = trpt->bup.ovals[2];
		now.page.term = trpt->bup.ovals[1];
		now.ver = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 148: // STATE 36
		;
		((P0 *)_this)->s = trpt->bup.ovals[7];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = trpt->bup.ovals[1];
		now.ans[ Index((((P0 *)_this)->s/2), 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 149: // STATE 36
		;
		((P0 *)_this)->s = trpt->bup.ovals[6];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = trpt->bup.ovals[5];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = trpt->bup.ovals[4];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = trpt->bup.ovals[3];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = trpt->bup.ovals[2];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = trpt->bup.ovals[1];
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 150: // STATE 36
		;
		((P0 *)_this)->s = trpt->bup.ovals[7];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = trpt->bup.ovals[6];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = trpt->bup.ovals[5];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = trpt->bup.ovals[4];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = trpt->bup.ovals[3];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = trpt->bup.ovals[2];
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = trpt->bup.ovals[1];
		now.ans[ Index((((P0 *)_this)->s/2), 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 151: // STATE 36
		;
		((P0 *)_this)->s = trpt->bup.ovals[6];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = trpt->bup.ovals[5];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = trpt->bup.ovals[4];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = trpt->bup.ovals[3];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = trpt->bup.ovals[2];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = trpt->bup.ovals[1];
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 152: // STATE 36
		;
		((P0 *)_this)->s = trpt->bup.ovals[6];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.rterm = trpt->bup.ovals[5];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.att = trpt->bup.ovals[4];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.st = trpt->bup.ovals[3];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.tok = trpt->bup.ovals[2];
		now.net[ Index(((P0 *)_this)->s, 4) ].p.term = trpt->bup.ovals[1];
		now.net[ Index(((P0 *)_this)->s, 4) ].expect = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 153: // STATE 41
		;
		p_restor(II);
		;
		;
		goto R999;
	}

